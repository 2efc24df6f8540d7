// Package tackcrowd tests what crowds of misbehaving clients do to the real processes of the
// system. It has only tests. They check that a process lives, that its memory and its
// descriptors stay within those of its machine, and that an ordinary request is answered while
// the crowd stays connected. They check no times.
package tackcrowd
