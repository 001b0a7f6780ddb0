package configuration

import (
	"github.com/parsleylug/parsleylug/domain"
)

// Sample returns the built-in configuration with which serve and standin start if no file is
// given: models with one or two copies, a few adapters and the service booking. Keys are not
// required.
func Sample() []Record {
	var records []Record
	add := func(r Record) {
		r.SchemaVersion = CurrentSchemaVersion
		r.Author = "sample"
		records = append(records, r)
	}
	add(Record{Deployment: &Deployment{ColdStartWeight: 1, IdleWeight: 1, DefaultTimeout: DefaultTimeout, MaximumTimeout: MaximumTimeout}})
	for _, m := range sampleModels() {
		add(Record{Model: &m})
	}
	for _, a := range sampleAdapters() {
		add(Record{Adapter: &a})
	}
	add(Record{Service: &Service{Name: "booking"}})
	return records
}

// SampleRegions returns the regions of the sample configuration.
func SampleRegions() []domain.Region {
	return []domain.Region{"brisbane", "townsville", "toowoomba"}
}

func sampleModels() []Model {
	sizes := []struct {
		name   domain.ModelName
		memory domain.Bytes
		copies domain.ReplicaCount
	}{
		{"coral-summary-7b", 14, 2},
		{"coral-address-3b", 8, 2},
		{"coral-frame-note-7b", 14, 1},
		{"coral-extract-3b", 8, 1},
		{"coral-lookup-3b", 8, 2},
		{"coral-dialect-9b", 18, 1},
		{"coral-phone-script-7b", 14, 1},
		{"hymn-order-8b", 16, 2},
		{"hymn-translate-9b", 18, 1},
		{"hymn-schedule-3b", 8, 1},
		{"hymn-verse-7b", 14, 1},
		{"feast-day-10b", 20, 1},
		{"priest-notes-5b", 10, 2},
		{"diaspora-translate-10b", 20, 1},
	}
	models := make([]Model, 0, len(sizes))
	for _, s := range sizes {
		models = append(models, Model{Name: s.name, Version: "v1", Memory: s.memory * domain.Gibibyte, Copies: s.copies, Concurrency: DefaultConcurrency})
	}
	return models
}

func sampleAdapters() []Adapter {
	const size = 128 * domain.Mebibyte
	return []Adapter{
		{Name: "brisbane-style", Model: "coral-summary-7b", Version: "v1", Memory: size},
		{Name: "rural-addresses", Model: "coral-address-3b", Version: "v1", Memory: size},
		{Name: "short-notes", Model: "coral-frame-note-7b", Version: "v1", Memory: size},
		{Name: "moldova", Model: "hymn-order-8b", Version: "v1", Memory: size},
		{Name: "cluj", Model: "hymn-order-8b", Version: "v1", Memory: size},
		{Name: "hungarian", Model: "hymn-translate-9b", Version: "v1", Memory: size},
	}
}
