package scale

func whole(p Props) error { return nil }
