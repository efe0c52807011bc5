/**
The requests of a day, drawn beforehand, so that all policies play the same ones.
*/
import * as utils from 'wagtailroute-utils';
import {drawExponential, drawLuck, type Luck} from './draws.ts';
import type {Scenario, ScenarioOrganisation, ScenarioRoute} from './scenario.ts';

/**
A request.
*/
export type Arrival = {
	readonly id: string;
	readonly at: number;
	readonly route: ScenarioRoute;
	readonly service: string;
	/**
	Absent: nobody's allotment counts.
	*/
	readonly organisation?: string;
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

/**
Keeps the random numbers of organisations apart from those of routes.
*/
const ORGANISATIONS_SOURCE = 32_452_843;
const MILLISECONDS = 1000;

/**
Draws the requests of a day, in order of time.
*/
export function drawArrivals(scenario: Scenario, seed: number): readonly Arrival[] {
	const {routes, organisations} = scenario;
	return [
		...routes.flatMap((route, index) => drawRoute(scenario, route, utils.createRandom((seed * routes.length) + index + 1))),
		...organisations.flatMap((organisation, index) => drawOrganisation(scenario, organisation, utils.createRandom((seed * ORGANISATIONS_SOURCE) + index))),
	].toSorted((left, right) => left.at - right.at);
}

/**
Draws the requests of an organisation, which uses the routes as all callers together do.
*/
function drawOrganisation(scenario: Scenario, organisation: ScenarioOrganisation, random: utils.Random): readonly Arrival[] {
	const {name, perSecond, use, floods} = organisation;
	const arrivals: Arrival[] = [];
	const most = Math.max(1, ...floods.map(({times}) => times));
	let at = 0;
	for (;;) {
		at += drawExponential(random, MILLISECONDS / (perSecond * use * most));
		if (at >= scenario.seconds * MILLISECONDS) {
			return arrivals;
		}

		if (random() >= getFlood(organisation, at) / most) {
			continue;
		}

		const route = drawRouteByTraffic(scenario, random);
		arrivals.push({
			...drawArrival(scenario, route, random), id: `${name}-${arrivals.length}`, at, organisation: name,
		});
	}
}

/**
Returns what an organisation sends as a multiple of the usual.
*/
function getFlood({floods}: ScenarioOrganisation, at: number): number {
	const flood = floods.find(({atSeconds, forSeconds}) => at >= atSeconds * MILLISECONDS && at < (atSeconds + forSeconds) * MILLISECONDS);
	return flood?.times ?? 1;
}

function drawRouteByTraffic({routes}: Scenario, random: utils.Random): ScenarioRoute {
	let left = random() * routes.reduce((sum, {perSecond}) => sum + perSecond, 0);
	return routes.find(({perSecond}) => {
		left -= perSecond;
		return left < 0;
	}) ?? routes.at(-1)!;
}

function drawArrival(scenario: Scenario, route: ScenarioRoute, random: utils.Random): Omit<Arrival, 'id' | 'at'> {
	return {
		route,
		service: drawService(route, random),
		failureDomain: scenario.failureDomains[utils.pickIndex(random, scenario.failureDomains.length)]!,
		entry: random(),
		lucks: Array.from({length: ATTEMPTS_DRAWN}, () => drawLuck(random, route)),
		retries: scenario.callers.retries,
	};
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
			...drawArrival(scenario, route, random), id: `${route.name}-${arrivals.length}`, at,
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
