package tacksettings

import "auburntack/io/tackport"

// Limits returns the limits of the ports.
func (c *Clients) Limits() tackport.Limits {
	return tackport.Limits{
		MemoryPercent: c.MemoryPercent, BodyTimeout: c.BodyTimeout, BodyRate: c.BodyRate,
		WriteTimeout: c.WriteTimeout, HeaderBytes: c.HeaderLimit, ReceiveBuffer: c.ReceiveBuffer,
	}
}
