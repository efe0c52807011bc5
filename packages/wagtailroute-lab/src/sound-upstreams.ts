/**
Whether the sound upstreams of a service get requests while a part of its requests is not served.

A service whose requests fail although upstreams stand idle that nothing ails any more is short of capacity by its dispatcher's choice.
*/
import type {Spell} from './backend.ts';

/**
Requests and upstreams of one service over a day.
*/
export type ServiceRecord = {
	/**
	Requests of callers, with the time of each and whether it was served in the end.
	*/
	readonly requests: ReadonlyArray<{readonly at: number; readonly isServed: boolean}>;
	readonly upstreams: readonly UpstreamRecord[];
};

/**
An upstream that served all day.
*/
export type UpstreamRecord = {
	readonly spells: ReadonlyArray<Pick<Spell, 'from' | 'until'>>;
	/**
	Times of the requests that it got, in order.
	*/
	readonly arrivals: readonly number[];
};

const WINDOW_MILLISECONDS = 2000;
const STEP_MILLISECONDS = 250;

/**
Milliseconds after a bad spell from which on an upstream is sound again.
*/
const SOUND_MILLISECONDS = 6000;

/**
Unserved shares between which a service can be helped by upstreams that got nothing.
*/
const UNSERVED_LEAST = 0.1;
const UNSERVED_MOST = 0.5;

/**
Returns the least share of the sound upstreams that got requests in any window in which requests were not served; 1 when there is no such window.
*/
export function getLeastUsedShare({requests, upstreams}: ServiceRecord): number {
	const end = Math.max(0, ...requests.map(({at}) => at)) - WINDOW_MILLISECONDS;
	let least = 1;
	for (let from = SOUND_MILLISECONDS; from <= end; from += STEP_MILLISECONDS) {
		const window = {from, until: from + WINDOW_MILLISECONDS};
		const asked = requests.filter(({at}) => isWithin(at, window));
		const unserved = asked.filter(({isServed}) => !isServed).length / asked.length;
		if (!(unserved > UNSERVED_LEAST && unserved < UNSERVED_MOST)) {
			continue;
		}

		const sound = upstreams.filter(({spells}) => spells.every(spell => spell.until + SOUND_MILLISECONDS < window.from || spell.from >= window.until));
		const used = sound.filter(({arrivals}) => arrivals.some(at => isWithin(at, window)));
		least = used.length === 0 ? least : Math.min(least, used.length / sound.length);
	}

	return least;
}

type Window = {
	readonly from: number;
	readonly until: number;
};

function isWithin(at: number, {from, until}: Window): boolean {
	return at >= from && at < until;
}
