/**
Loaded into an entry before its program: lets the wall clock jump by up to an hour, either way, again and again. Nothing
that an entry promises may hang on it.
*/
const jumpEveryMs = 700;
const widestJumpMs = 3_600_000;
const {now} = Date;
let offsetMs = 0;
Date.now = () => now() + offsetMs;
setInterval(() => {
	offsetMs = (Math.random() - 0.5) * 2 * widestJumpMs;
}, jumpEveryMs).unref();
