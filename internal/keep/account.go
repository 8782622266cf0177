package keep

// account divides an amount (bytes, files, streams) among classes and tenants. Each
// class has a guaranteed share. Of an unused share others may borrow a part; the rest
// of it, the firm part, stays free for its class at every moment: what is taken and
// what is firm and free never exceed the limit together. While the account is tight,
// from its high mark until it is back at the low one, nobody borrows.
type account struct {
	limit, high, low int64
	share, firm      []int64 // by class; the firm part is never lent
	used             []int64 // by class
	total, most      int64
	owed             int64   // firm parts that are free
	tenants          []int64 // taken, by tenant, unknown ones last; nil: there are none
	tight            bool
}

func newAccount(limit int64, l *Limits) account {
	a := account{limit: limit, high: int64(float64(limit) * l.High), low: int64(float64(limit) * l.Low)}
	for _, s := range l.Shares {
		share := int64(float64(limit) * s)
		firm := int64(float64(share) * (1 - l.Lend))
		a.share, a.firm = append(a.share, share), append(a.firm, firm)
		a.owed += firm
	}
	a.used = make([]int64, len(l.Shares))
	if l.Tenants > 0 {
		a.tenants = make([]int64, l.Tenants+1)
	}
	return a
}

// free is what of a class's firm part is free.
func (a *account) free(class int) int64 { return max(0, a.firm[class]-a.used[class]) }

func (a *account) tenant(t int) int {
	if t < 0 || t >= len(a.tenants) {
		return len(a.tenants) - 1
	}
	return t
}

// fits says whether a class and a tenant may have n more. A tenant may always have an
// equal part of the limit, and beyond it no more than what is free: the more others
// hold, the less (Choudhury and Hahne, Dynamic Queue Length Thresholds for
// Shared-Memory Packet Switches, IEEE/ACM ToN 6(2), 1998, with alpha = 1).
func (a *account) fits(class, tenant int, n int64) bool {
	if a.total+n+a.owed-a.free(class) > a.limit {
		return false
	}
	if a.tight && a.used[class]+n > a.share[class] {
		return false
	}
	if a.tenants == nil {
		return true
	}
	return a.tenants[a.tenant(tenant)]+n <= max(a.limit/int64(len(a.tenants)), a.limit-a.total-n)
}

func (a *account) take(class, tenant int, n int64) bool {
	if !a.fits(class, tenant, n) {
		return false
	}
	a.change(class, tenant, n)
	return true
}

func (a *account) give(class, tenant int, n int64) { a.change(class, tenant, -n) }

func (a *account) change(class, tenant int, n int64) {
	a.owed -= a.free(class)
	a.used[class] += n
	a.owed += a.free(class)
	a.total += n
	a.most = max(a.most, a.total)
	if a.tenants != nil {
		a.tenants[a.tenant(tenant)] += n
	}
	switch {
	case a.total >= a.high:
		a.tight = true
	case a.total <= a.low:
		a.tight = false
	}
}

// borrows says whether a class holds more than its share.
func (a *account) borrows(class int) bool { return a.used[class] > a.share[class] }
