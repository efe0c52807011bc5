/**
The time that an entry host lends to dispatchers: all time since its previous slot request, to the one that gets the next. No two dispatchers get the same time, so what
they admit for this host adds up to its own part of each allotment.
*/

/**
Lends the time of an entry host.
*/
export type TimeLender = {
	/**
	Lends the whole milliseconds since the previous call; the rest of one is left for the next.
	*/
	readonly lend: () => number;
	/**
	Takes milliseconds back from a dispatcher that did not answer, to lend them to another one.
	*/
	readonly reclaim: (milliseconds: number) => void;
};

/**
Creates a lender that has lent no time yet.

@param now Monotonic time in milliseconds.
*/
export function createTimeLender(now: () => number): TimeLender {
	let lentUntil = now();
	return {
		lend() {
			const milliseconds = Math.floor(now() - lentUntil);
			lentUntil += milliseconds;
			return milliseconds;
		},
		reclaim(milliseconds) {
			lentUntil -= milliseconds;
		},
	};
}
