/**
Tests of the choice of voters and learners.
*/
import test from 'ava';
import * as replication from '../../index.ts';

type Case = {
	readonly name: string;
	readonly voters: readonly string[];
	readonly learners?: readonly string[];
	readonly running: readonly string[];
	readonly gone?: readonly string[];
	readonly wanted: {readonly voters: readonly string[]; readonly learners?: readonly string[]};
};

const CASES: readonly Case[] = [
	{
		name: 'further hosts become voters up to the maximum', voters: ['a', 'b', 'c'], running: ['a', 'b', 'c', 'd', 'e', 'f'], wanted: {voters: ['a', 'b', 'c', 'd', 'e'], learners: ['f']},
	},
	{
		name: 'a voter that is absent briefly stays a voter', voters: ['a', 'b', 'c', 'd', 'e'], running: ['a', 'b', 'c', 'd', 'f'], wanted: {voters: ['a', 'b', 'c', 'd', 'e'], learners: ['f']},
	},
	{
		name: 'an absent voter is replaced by a running host', voters: ['a', 'b', 'c', 'd', 'e'], running: ['a', 'b', 'c', 'd', 'f'], gone: ['e'], wanted: {voters: ['a', 'b', 'c', 'd', 'f']},
	},
	{
		// Guards against a group that tolerates fewer failures: an absent voter is removed without a replacement, although it
		// could have returned, and two further losses stop the group.
		name: 'an absent voter stays while no other host can replace it', voters: ['a', 'b', 'c', 'd', 'e'], running: ['a', 'b', 'c', 'd'], gone: ['e'], wanted: {voters: ['a', 'b', 'c', 'd', 'e']},
	},
	{
		name: 'two absent voters are replaced as far as other hosts are available',
		voters: ['a', 'b', 'c', 'd', 'e'],
		learners: ['f'],
		running: ['a', 'b', 'c', 'f'],
		gone: ['d', 'e'],
		wanted: {voters: ['a', 'b', 'c', 'd', 'f']},
	},
	{
		name: 'an absent learner is removed', voters: ['a', 'b', 'c'], learners: ['d'], running: ['a', 'b', 'c'], gone: ['d'], wanted: {voters: ['a', 'b', 'c']},
	},
];

for (const {name, voters, learners = [], running, gone = [], wanted} of CASES) {
	test(name, t => {
		const chosen = replication.chooseMembers({
			members: [
				...voters.map(host => ({id: replication.createMemberId(host, '1'), role: 'voter'} as const)),
				...learners.map(host => ({id: replication.createMemberId(host, '1'), role: 'learner'} as const)),
			],
			runningHosts: running.map(host => ({host, failureDomain: host})),
			isReplaceable: host => gone.includes(host),
			maxVoters: 5,
		});
		const getHosts = (role: 'voter' | 'learner') => chosen.filter(item => item.role === role).map(({host}) => host).toSorted((left, right) => left.localeCompare(right));
		t.deepEqual(getHosts('voter'), [...wanted.voters]);
		t.deepEqual(getHosts('learner'), [...wanted.learners ?? []]);
	});
}

test('new voters come from the failure domains with the fewest voters', t => {
	const chosen = replication.chooseMembers({
		members: [{id: 'a~1', role: 'voter'}, {id: 'b~1', role: 'voter'}],
		runningHosts: [
			{host: 'a', failureDomain: 'x'}, {host: 'b', failureDomain: 'x'}, {host: 'c', failureDomain: 'x'}, {host: 'd', failureDomain: 'y'},
		],
		isReplaceable: () => false,
		maxVoters: 3,
	});
	t.deepEqual(chosen.filter(item => item.role === 'voter').map(({host}) => host), ['a', 'b', 'd']);
});
