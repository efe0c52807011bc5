import test from 'ava';
import type * as clusters from './cluster.ts';
import * as explorer from './explorer.ts';

const ACTIONS = 4000;

const healthy = [
	{hosts: 3, firstSeed: 1, seeds: 900},
	{hosts: 4, firstSeed: 100_000, seeds: 200},
	{hosts: 5, firstSeed: 200_000, seeds: 900},
] as const;

for (const {hosts, firstSeed, seeds} of healthy) {
	// Guards against a committed change that is missing, differs between hosts or is applied twice, and against stale reads,
	// under lost, duplicated and late messages, one-way partitions, crashes around writes and wiped disks, also right after a
	// repair.
	test(`${hosts} hosts keep every accepted change in ${seeds} seeded runs`, t => {
		const reports = Array.from({length: seeds}, (_, at) => explorer.explore(firstSeed + at, hosts, ACTIONS));
		const violations = reports.map(report => report.violation).filter(violation => violation !== undefined);
		const sum = (name: Exclude<keyof explorer.Report, 'violation'>) => reports.reduce((total, report) => total + report[name], 0);
		t.log(`seeds ${firstSeed} to ${firstSeed + seeds - 1}, ${ACTIONS} actions each: ${sum('acknowledged')} accepted changes, `
			+ `${sum('reads')} reads, ${sum('crashes')} crashes, ${sum('wipes')} wiped disks, ${sum('repairs')} repair steps, `
			+ `${sum('snapshots')} snapshots, ${sum('terms')} terms`);
		t.deepEqual(violations, []);
		t.true(sum('wipes') > seeds && sum('crashes') > seeds && sum('terms') > seeds);
		t.true(sum('acknowledged') > 10 * seeds && sum('reads') > 10 * seeds);
	});
}

// Injected faults that the explorer must find, each within this number of seeds.
const faults: ReadonlyArray<readonly [fault: clusters.Mutation, seeds: number]> = [
	['early-confirmation', 200],
	['kept-identity', 20],
	['unconfirmed-read', 100],
];

for (const [fault, seeds] of faults) {
	test(`the explorer finds the fault ${fault}`, t => {
		const reports = Array.from({length: seeds}, (_, at) => explorer.explore(at, at % 2 === 0 ? 5 : 3, ACTIONS, fault));
		const violations = reports.map(report => report.violation).filter(violation => violation !== undefined);
		t.log(`seeds 0 to ${seeds - 1}: ${violations.length} found, first: ${violations[0]}`);
		t.true(violations.length > 0);
	});
}
