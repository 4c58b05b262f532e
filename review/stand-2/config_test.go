package main

// putConfig writes the operator's first configuration: one service of model engines and one
// route to it.
func (w *world) putConfig(route map[string]any) {
	base := map[string]any{
		"name": "r-1", "host": host, "path_prefix": "/notes/", "route_kind": "streaming", "timeout_ms": 15000, "slo_ms": 500, "priority": 0,
		"service": "geiriau", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "itl_target_ms": 200,
	}
	for k, v := range route {
		base[k] = v
	}
	w.store.put("config", "main", map[string]any{
		"version": 7, "routes": []any{base},
		"services": []any{map[string]any{
			"name": "geiriau", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerS,
			"engine_id": map[string]any{"slots": 64, "kv_capacity": 296443, "kv_token_bytes": 163840, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 3, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
}

var zones = []string{"caerdydd", "abertawe", "wrecsam", "aberystwyth"}
