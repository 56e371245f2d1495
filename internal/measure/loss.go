package main

func loss(seed uint64) []*table { return nil }
