/**
Spread of one new revision over the fleet, as `distribution.ts` of the host does it: each host that learns of it tells so
many random others once. Counts rounds, and hosts that nobody told, which find out by their own comparison.
*/
import {REVISION_FANOUT} from '../../packages/wagtailroute-host/src/constants.ts';
import * as utils from '../../packages/wagtailroute-utils/src/index.ts';
import type {Row} from './slopes.ts';

const SIZES = [40, 300, 1000, 2400] as const;
const RUNS = 50;
const SEED = 9;

/**
Runs all sizes.
*/
export function simulateGossip(): readonly Row[] {
	const random = utils.createRandom(SEED);
	return SIZES.map(hosts => {
		const spreads = Array.from({length: RUNS}, () => spread(hosts, random));
		const untold = spreads.reduce((sum, run) => sum + run.untold, 0) / RUNS;
		return {
			hosts,
			fanout: REVISION_FANOUT,
			'rounds until half have it (mean)': getMean(spreads.map(run => run.half)),
			'rounds in all (most)': Math.max(...spreads.map(run => run.rounds)),
			'hosts nobody told (mean)': Math.round(untold * 10) / 10,
		};
	});
}

function spread(hosts: number, random: utils.Random): {readonly half: number; readonly rounds: number; readonly untold: number} {
	const told = new Set([0]);
	let fresh: readonly number[] = [0];
	let rounds = 0;
	let half = 0;
	while (fresh.length > 0) {
		const next = fresh.flatMap(() => Array.from({length: REVISION_FANOUT}, () => utils.pickIndex(random, hosts)));
		fresh = [...new Set(next).difference(told)];
		for (const host of fresh) {
			told.add(host);
		}

		rounds += fresh.length > 0 ? 1 : 0;
		half += told.size < hosts / 2 ? 1 : 0;
	}

	return {half: half + 1, rounds, untold: hosts - told.size};
}

function getMean(values: readonly number[]): number {
	return Math.round(values.reduce((sum, value) => sum + value, 0) / values.length * 10) / 10;
}
