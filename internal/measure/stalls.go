package main

func stalls(seed uint64) []*table { return nil }
