import test from 'ava';
import * as replication from '../../index.ts';

type Case = {
	readonly name: string;
	/**
	Members as `host~incarnation`, followed by `!` for a voter or `?` for a learner, then `-` if not live and `<` if behind.
	*/
	readonly members: string;
	/**
	The members that run on the wanted hosts now; `host~` if unknown.
	*/
	readonly wanted: string;
	readonly step: string;
};

const cases: readonly Case[] = [
	{
		name: 'no change if the members are as wanted', members: 'a~1! b~1! c~1!', wanted: 'a~1 b~1 c~1', step: 'none',
	},
	{
		name: 'a silent host stays a member', members: 'a~1! b~1! c~1!-', wanted: 'a~1 b~1 c~', step: 'none',
	},
	{
		name: 'a wiped host is added as a learner', members: 'a~1! b~1! c~1!-', wanted: 'a~1 b~1 c~2', step: 'add-learner c~2',
	},
	{
		name: 'a learner that is behind is not promoted', members: 'a~1! b~1! c~1!- c~2?<', wanted: 'a~1 b~1 c~2', step: 'none',
	},
	{
		name: 'the lost member is removed before the new one is promoted', members: 'a~1! b~1! c~1!- c~2?', wanted: 'a~1 b~1 c~2', step: 'remove c~1',
	},
	{
		name: 'no promotion while an earlier incarnation is a live voter', members: 'a~1! b~1! c~1! c~2?', wanted: 'a~1 b~1 c~2', step: 'none',
	},
	{
		name: 'a learner that is caught up is promoted', members: 'a~1! b~1! c~2?', wanted: 'a~1 b~1 c~2', step: 'promote c~2',
	},
	{
		name: 'a planned replacement is promoted first', members: 'a~1! b~1! c~1! d~1?', wanted: 'a~1 b~1 d~1', step: 'promote d~1',
	},
	{
		name: 'then the replaced host is removed', members: 'a~1! b~1! c~1! d~1!', wanted: 'a~1 b~1 d~1', step: 'remove c~1',
	},
	{
		name: 'no removal that leaves no live quorum', members: 'a~1! b~1!- c~1! d~1!-', wanted: 'a~1 b~ d~', step: 'none',
	},
	{
		name: 'an unwanted learner is removed', members: 'a~1! x~1?', wanted: 'a~1', step: 'remove x~1',
	},
];

for (const {name, members, wanted, step} of cases) {
	test(name, t => {
		const observed = members.split(' ').map((text): replication.ObservedMember => ({
			id: text.replaceAll(/[!\-<?]/gv, ''),
			role: text.includes('!') ? 'voter' : 'learner',
			isLive: !text.includes('-'),
			isCaughtUp: !text.includes('<'),
		}));
		const hosts = wanted.split(' ').map((id): replication.WantedHost => ({
			host: replication.getMemberHost(id), role: 'voter', current: id.endsWith('~') ? null : id,
		}));
		const planned = replication.planRepair(observed, hosts);
		t.is(planned === undefined ? 'none' : `${planned.kind} ${planned.member}`, step);
	});
}
