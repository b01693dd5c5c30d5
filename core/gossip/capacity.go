package gossip

// muchWider is how many times as wide a link is that counts as better.
const muchWider = 2

// CarriesMore says that a machine can carry the replicated state much better than
// another: its link is at least twice as wide and its disk no smaller. Where either
// does not say what it has, they count alike (design 4.8).
func (e Entry) CarriesMore(other Entry) bool {
	if e.Link == 0 || other.Link == 0 || e.Disk == 0 || other.Disk == 0 {
		return false
	}
	return e.Link >= muchWider*other.Link && e.Disk >= other.Disk
}
