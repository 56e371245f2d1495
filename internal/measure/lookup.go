package main

func lookup(seed uint64) []*table { return nil }
