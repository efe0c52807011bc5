/**
Giving a request up: its deadline is over or its caller has left. Whatever it waits for is left at once, so that its last
answer is not held back by it.
*/

/**
Why a request was given up.
*/
export type GivingUpReason = 'deadline' | 'cancelled';

/**
Whether a request was given up.
*/
export type GivingUp = {
	readonly getReason: () => GivingUpReason | undefined;
	/**
	The first reason stays.
	*/
	readonly giveUp: (reason: GivingUpReason) => void;
	/**
	Called when the request is given up, at once when it has been.
	*/
	readonly setListener: (listener: (reason: GivingUpReason) => void) => void;
	/**
	Returns the value, or undefined as soon as the request is given up.
	*/
	readonly race: <Value>(pending: Promise<Value>) => Promise<Value | undefined>;
};

/**
Creates it for one request. It has one listener at a time: what the request waits for at present.
*/
export function createGivingUp(): GivingUp {
	const given = Promise.withResolvers<undefined>();
	let reason: GivingUpReason | undefined;
	let listener: ((reason: GivingUpReason) => void) | undefined;
	return {
		getReason: () => reason,
		giveUp(next) {
			if (reason !== undefined) {
				return;
			}

			reason = next;
			given.resolve(undefined);
			listener?.(next);
		},
		setListener(next) {
			listener = next;
			if (reason !== undefined) {
				next(reason);
			}
		},
		race: async pending => Promise.race([pending, given.promise]),
	};
}
