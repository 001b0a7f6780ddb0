package settings

import "testing"

func validSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:8080", PeerListen: "127.0.0.1:8081", AdminListen: "127.0.0.1:8082",
		Region: "brisbane", Zone: "brisbane-a", KeepAlive: "5m", DrainGrace: "0s", DrainLimit: "10m", LogLevel: "info",
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	s := Settings{LogURL: "10.0.0.1", WeightStoreURL: "ftp://10.0.0.1", Listen: "localhost:80", PeerListen: "127.0.0.1:9", AdminListen: "127.0.0.1:9", Region: "a b", KeepAlive: "-1s", DrainLimit: "48h", LogLevel: "loud"}
	_, err := s.Parse()
	faults, _ := AsFaults(err)
	got := map[string]bool{}
	for _, f := range faults {
		got[f.Flag] = true
	}
	for _, want := range []string{"log-url", "vm-list-url", "weight-store-url", "listen", "admin-listen", "region", "zone", "keep-alive", "drain-grace", "drain-limit", "log-level"} {
		if !got[want] {
			t.Errorf("got no fault for --%s in %v", want, err)
		}
	}
}

func TestSettingsWithoutURLsAreEmbedded(t *testing.T) {
	v, err := validSettings().Parse()
	if err != nil {
		t.Fatal(err)
	}
	if !v.Embedded || v.Listen.Port() != 8080 {
		t.Errorf("got %+v, want embedded stand-ins and port 8080", v)
	}
}

func TestParseTrimsSlashFromURLs(t *testing.T) {
	s := validSettings()
	s.LogURL, s.WeightStoreURL, s.VMListURL = "http://10.0.0.1:1/", "http://10.0.0.1:2", "http://10.0.0.1:3"
	v, err := s.Parse()
	if err != nil {
		t.Fatal(err)
	}
	if v.Embedded || v.LogURL != "http://10.0.0.1:1" {
		t.Errorf("got %+v, want URLs without a trailing slash", v)
	}
}
