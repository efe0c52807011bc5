/**
Entry point of the replication benchmark: groups of 3, 5, 7 and 28 members, restarts and failover, with their bounds.
*/
import * as replication from './replication.ts';

const DECIMALS = 10;

/**
Runs all three benchmarks and checks their bounds.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const groups = replication.benchGroups();
	const restarts = await replication.benchRestarts();
	const failover = replication.benchFailover();
	const bounds = [...replication.getGroupBounds(groups), ...replication.getRestartBounds(restarts)];
	return {
		title: 'Replication: groups by members, restarts by changes, failover',
		rows: [
			...groups.map(row => ({measure: 'group', ...round(row)})),
			...restarts.map(row => ({measure: 'restart', ...round(row)})),
			{measure: 'failover', ...round(failover)},
		],
		broken: bounds
			.filter(bound => bound.ratio > bound.most)
			.map(bound => `${bound.name} is ${bound.ratio.toFixed(2)}, the bound is ${bound.most.toFixed(2)}.`),
	};
}

function round(row: Readonly<Record<string, number>>): Record<string, number> {
	return Object.fromEntries(Object.entries(row).map(([name, value]) => [name, Math.round(value * DECIMALS) / DECIMALS]));
}
