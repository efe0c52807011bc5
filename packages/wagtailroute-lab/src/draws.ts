/**
Draws from the distributions that scenarios name.
*/
import * as utils from 'wagtailroute-utils';
import type {ScenarioRoute} from './scenario.ts';

/**
Returns a number from the standard normal distribution (Box and Muller).
*/
export function drawNormal(random: utils.Random): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/**
Returns an exponentially distributed number with a mean.
*/
export function drawExponential(random: utils.Random, mean: number): number {
	return -Math.log(1 - random()) * mean;
}

/**
What an attempt would come to on an upstream of usual speed, drawn with the request: so two policies play the same requests.
*/
export type Luck = {
	readonly workMilliseconds: number;
	/**
	Uniform in [0, 1): below a share, the upstream errs, or a bad spell harms the request.
	*/
	readonly error: number;
	readonly harm: number;
};

/**
Draws the luck of an attempt.
*/
export function drawLuck(random: utils.Random, route: ScenarioRoute): Luck {
	return {workMilliseconds: drawWork(random, route), error: random(), harm: random()};
}

/**
Returns the milliseconds that a request works on an upstream of usual speed: log-normal with the mean of its route, now and then far longer.
*/
function drawWork(random: utils.Random, {work}: ScenarioRoute): number {
	const {meanMilliseconds, spread, tailShare, tailTimes} = work;
	const usual = meanMilliseconds * Math.exp((drawNormal(random) * spread) - (spread * spread / 2));
	return random() < tailShare ? usual * tailTimes : usual;
}

/**
Returns a share of the items, rounded up.
*/
export function pickShare<Item>(random: utils.Random, items: readonly Item[], share: number): readonly Item[] {
	return utils.shuffle(random, items).slice(0, Math.ceil(items.length * share));
}
