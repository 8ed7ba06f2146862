/**
Loaded into an entry's process before its program: sets the wall clock again and again to a random time within an hour of the
true one. No guarantee of an entry may depend on the wall clock.
*/
const jumpIntervalMs = 700;
const maxOffsetMs = 3_600_000;
const {now} = Date;
let offsetMs = 0;
Date.now = () => now() + offsetMs;
setInterval(() => {
	offsetMs = (Math.random() - 0.5) * 2 * maxOffsetMs;
}, jumpIntervalMs).unref();
