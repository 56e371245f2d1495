package main

func retries(seed uint64) []*table { return nil }
