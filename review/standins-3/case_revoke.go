package main

import (
	"fmt"
	"time"
)

func init() { cases["last-tenant"] = caseLastTenant }

// caseLastTenant: the operator takes away the tenants one after the other. The last version has none.
func caseLastTenant(w *world) verdict {
	const (
		calls = 20
		pause = 100 * time.Millisecond
		key   = "key-counter"
	)
	for i := range 3 {
		w.startWorker(&worker{service: "desk", zone: zoneOf(i)})
	}
	other := tenant{Name: "other", ApiKeys: []string{"key-other"}, Priority: 1}
	w.store.put("op", "config", config(7, []tenant{other, {Name: "counter", ApiKeys: []string{key}, Priority: 1}}))
	w.startGateways(2)
	r := w.newRequester()
	ask := func(key string) result {
		return r.send(w.gateways[w.nextID()%2], request{method: "POST", host: host, path: orderRoute + "new", key: key, body: "one hose", timeout: 1500 * time.Millisecond})
	}
	for range 3 {
		if res := ask(key); res.status != 200 {
			panic(notRun{fmt.Errorf("a request in calm was answered %d", res.status)})
		}
	}
	w.store.put("op", "config", config(9, []tenant{{Name: "counter", ApiKeys: []string{key}, Priority: 1}}))
	w.notef("version 9 is confirmed: tenant other is gone")
	time.Sleep(applyTime + time.Second)
	if res := ask("key-other"); res.status != 401 {
		panic(notRun{fmt.Errorf("the key of the first tenant that was taken away was answered %d", res.status)})
	}
	if w.trouble {
		w.store.put("op", "config", config(12, []tenant{}))
		w.notef("version 12 is confirmed: tenant counter is gone, none is left")
	}
	time.Sleep(applyTime + time.Second)
	ran := map[string]int{}
	began := time.Now()
	for range calls {
		for _, k := range []string{key, "key-other", "", "key-invented"} {
			ask(k)
		}
		time.Sleep(pause)
	}
	for _, a := range w.allArrivals() {
		if a.at.After(began) {
			ran[a.header.Get("X-Bilberrylink-Tenant")]++
		}
	}
	w.keepLogs(10, "config_adopted")
	dropped := ran[""]
	return verdict{broken: dropped > 0, text: fmt.Sprintf("requests with dropped, invented or no keys that ran later than %v after the confirmation: %d; of tenant counter: %d",
		applyTime, dropped, ran["counter"])}
}
