/**
Loaded into an entry before its program: lets the wall clock jump by up to an hour, either way, again and again. Nothing
that an entry promises may hang on it.
*/
const jumpIntervalMs = 700;
const maxJumpMs = 3_600_000;
const {now} = Date;
let offsetMs = 0;
Date.now = () => now() + offsetMs;
setInterval(() => {
	offsetMs = (Math.random() - 0.5) * 2 * maxJumpMs;
}, jumpIntervalMs).unref();
