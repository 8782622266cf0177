package bodypolicy

// account divides a limited amount (bytes, files or streams) among classes and tenants. Each
// class has a guaranteed share. Other classes may borrow a part of a share while it is unused;
// the rest, the firm part, is reserved for its class: the amount in use plus the unused firm
// parts never exceed the limit. From the time the amount in use reaches the high mark until it
// is back at the low one, the account is tight and no class may borrow.
type account struct {
	limit, high, low int64
	share, firm      []int64 // by class; the firm part is reserved
	used             []int64 // by class
	total, maxUsed   int64
	reserved         int64   // sum of the unused firm parts
	tenants          []int64 // in use by tenant, the last for unknown ones; nil: no tenants
	isTight          bool
}

// newAccount returns an account of limit with the given shares, marks and
// tenants.
func newAccount(limit int64, limits *Limits) account {
	a := account{limit: limit, high: int64(float64(limit) * limits.High), low: int64(float64(limit) * limits.Low)}
	for _, s := range limits.Shares {
		share := int64(float64(limit) * s)
		firm := int64(float64(share) * (1 - limits.Lend))
		a.share, a.firm = append(a.share, share), append(a.firm, firm)
		a.reserved += firm
	}
	a.used = make([]int64, len(limits.Shares))
	if limits.Tenants > 0 {
		a.tenants = make([]int64, limits.Tenants+1)
	}
	return a
}

// unusedFirm returns the unused firm part of a class.
func (a *account) unusedFirm(class int) int64 { return max(0, a.firm[class]-a.used[class]) }

// tenantIndex returns the index of t in tenants; unknown tenants share the last one.
func (a *account) tenantIndex(t int) int {
	if t < 0 || t >= len(a.tenants) {
		return len(a.tenants) - 1
	}
	return t
}

// fits reports whether a class and a tenant may use n more. A tenant may always use an equal
// part of the limit, and beyond that no more than what is free, so that its bound falls as the
// use by others grows (Choudhury and Hahne, Dynamic Queue Length Thresholds for Shared-Memory
// Packet Switches, IEEE/ACM ToN 6(2), 1998, with alpha = 1).
func (a *account) fits(class, tenant int, n int64) bool {
	if a.total+n+a.reserved-a.unusedFirm(class) > a.limit {
		return false
	}
	if a.isTight && a.used[class]+n > a.share[class] {
		return false
	}
	if a.tenants == nil {
		return true
	}
	return a.tenants[a.tenantIndex(tenant)]+n <= max(a.limit/int64(len(a.tenants)), a.limit-a.total-n)
}

// book books n for a class and a tenant and reports whether it fits.
func (a *account) book(class, tenant int, n int64) bool {
	if !a.fits(class, tenant, n) {
		return false
	}
	a.add(class, tenant, n)
	return true
}

// release releases n of a class and a tenant.
func (a *account) release(class, tenant int, n int64) { a.add(class, tenant, -n) }

// add adds n, which may be negative, to what a class and a tenant use.
func (a *account) add(class, tenant int, n int64) {
	a.reserved -= a.unusedFirm(class)
	a.used[class] += n
	a.reserved += a.unusedFirm(class)
	a.total += n
	a.maxUsed = max(a.maxUsed, a.total)
	if a.tenants != nil {
		a.tenants[a.tenantIndex(tenant)] += n
	}
	switch {
	case a.total >= a.high:
		a.isTight = true
	case a.total <= a.low:
		a.isTight = false
	}
}

// isBorrowing reports whether a class uses more than its share.
func (a *account) isBorrowing(class int) bool { return a.used[class] > a.share[class] }
