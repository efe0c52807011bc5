/**
The requests of a day, drawn beforehand, so that all policies play the same ones.
*/
import * as utils from 'wagtailroute-utils';
import {drawExponential, drawLuck, type Luck} from './draws.ts';
import type {Scenario, ScenarioRoute} from './scenario.ts';

/**
A request.
*/
export type Arrival = {
	readonly id: string;
	readonly at: number;
	readonly route: ScenarioRoute;
	readonly service: string;
	readonly failureDomain: string;
	/**
	Chooses among the entry hosts of the failure domain, uniform in [0, 1).
	*/
	readonly entry: number;
	/**
	By attempt; the last one stands for all that follow.
	*/
	readonly lucks: readonly Luck[];
	/**
	Times that its caller comes back when it is refused.
	*/
	readonly retries: number;
};

const ATTEMPTS_DRAWN = 4;
const SIDE_SHARE = 0.1;
const MILLISECONDS = 1000;

/**
Draws the requests of a day, in order of time.
*/
export function drawArrivals(scenario: Scenario, seed: number): readonly Arrival[] {
	return scenario.routes
		.flatMap((route, index) => drawRoute(scenario, route, utils.createRandom((seed * scenario.routes.length) + index + 1)))
		.toSorted((left, right) => left.at - right.at);
}

function drawRoute(scenario: Scenario, route: ScenarioRoute, random: utils.Random): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	const phase = random();
	const most = Math.max(1, ...scenario.faults.filter(({kind}) => kind === 'burst').map(({times}) => times));
	const highest = route.perSecond * scenario.load * (1 + scenario.wave.swing) * most;
	let at = 0;
	for (;;) {
		at += drawExponential(random, MILLISECONDS / highest);
		if (at >= scenario.seconds * MILLISECONDS) {
			return arrivals;
		}

		// Drawn for those passed over too: a change of the load then keeps the luck of the others.
		const arrival: Arrival = {
			id: `${route.name}-${arrivals.length}`,
			at,
			route,
			service: drawService(route, random),
			failureDomain: scenario.failureDomains[utils.pickIndex(random, scenario.failureDomains.length)]!,
			entry: random(),
			lucks: Array.from({length: ATTEMPTS_DRAWN}, () => drawLuck(random, route)),
			retries: scenario.callers.retries,
		};
		if (random() < getRate(scenario, at, phase) / (most * (1 + scenario.wave.swing))) {
			arrivals.push(arrival);
		}
	}
}

function drawService({services}: ScenarioRoute, random: utils.Random): string {
	const [usual, ...others] = services;
	const side = Math.floor(random() / SIDE_SHARE);
	return others[side] ?? usual!;
}

/**
Returns the present traffic as a multiple of the usual.
*/
function getRate({wave, faults}: Scenario, at: number, phase: number): number {
	const swing = 1 + (wave.swing * Math.sin(2 * Math.PI * ((at / MILLISECONDS / wave.periodSeconds) + phase)));
	const burst = faults.find(({kind, atSeconds, forSeconds}) =>
		kind === 'burst' && at >= atSeconds * MILLISECONDS && at < (atSeconds + forSeconds) * MILLISECONDS);
	return swing * (burst?.times ?? 1);
}
