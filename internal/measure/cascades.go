package main

func cascades(seed uint64) []*table { return nil }
