/**
Offsets between the monotonic clocks of other hosts and this host's: each host counts from its own start, so a received time has to be converted.
The offset is estimated from the fastest message so far.
*/

/**
Clock offsets by sender. An entry is garbage-collected with its sender object.
*/
export type SenderClocks = {
	/**
	Returns a received time by this host's clock, now at the latest. If the sender's clock stood still while it was suspended, the result is too early by that time.
	*/
	readonly convert: (sender: object, sentAt: number, now: number) => number;
};

/**
Creates an empty table.
*/
export function createSenderClocks(): SenderClocks {
	const offsets = new WeakMap<object, number>();
	return {
		convert(sender, sentAt, now) {
			const offset = Math.min(now - sentAt, offsets.get(sender) ?? Infinity);
			offsets.set(sender, offset);
			return sentAt + offset;
		},
	};
}
