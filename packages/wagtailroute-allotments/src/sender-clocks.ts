/**
How the clocks of other hosts stand to this one's: each host counts from its own start, so a time that one tells means nothing to another by itself.
The shortest way that a message ever took gives the difference.
*/

/**
Differences to the clocks of those that tell something. A sender is forgotten with its object.
*/
export type SenderClocks = {
	/**
	Returns a told time by this host's clock, now at the latest. Too early by as long as the sender was suspended.
	*/
	readonly convert: (sender: object, told: number, now: number) => number;
};

/**
Creates an empty table.
*/
export function createSenderClocks(): SenderClocks {
	const differences = new WeakMap<object, number>();
	return {
		convert(sender, told, now) {
			const difference = Math.min(now - told, differences.get(sender) ?? Infinity);
			differences.set(sender, difference);
			return told + difference;
		},
	};
}
