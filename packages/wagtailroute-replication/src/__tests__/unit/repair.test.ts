import test from 'ava';
import * as replication from '../../index.ts';

type Case = {
	readonly name: string;
	/**
	Members as `host~incarnation`, with `!` voter, `?` learner, then `-` if dead and `<` if behind.
	*/
	readonly members: string;
	/**
	What runs on the wanted hosts now; `host~` if nothing was heard.
	*/
	readonly wanted: string;
	readonly step: string;
};

const cases: readonly Case[] = [
	{
		name: 'nothing to do', members: 'a~1! b~1! c~1!', wanted: 'a~1 b~1 c~1', step: 'none',
	},
	{
		name: 'a silent host stays', members: 'a~1! b~1! c~1!-', wanted: 'a~1 b~1 c~', step: 'none',
	},
	{
		name: 'a wiped host is added as a learner', members: 'a~1! b~1! c~1!-', wanted: 'a~1 b~1 c~2', step: 'add-learner c~2',
	},
	{
		name: 'a learner that is behind waits', members: 'a~1! b~1! c~1!- c~2?<', wanted: 'a~1 b~1 c~2', step: 'none',
	},
	{
		name: 'the lost identity goes before the new one votes', members: 'a~1! b~1! c~1!- c~2?', wanted: 'a~1 b~1 c~2', step: 'remove c~1',
	},
	{
		name: 'no promotion beside an old identity', members: 'a~1! b~1! c~1! c~2?', wanted: 'a~1 b~1 c~2', step: 'none',
	},
	{
		name: 'a learner that holds everything is promoted', members: 'a~1! b~1! c~2?', wanted: 'a~1 b~1 c~2', step: 'promote c~2',
	},
	{
		name: 'a planned replacement votes first', members: 'a~1! b~1! c~1! d~1?', wanted: 'a~1 b~1 d~1', step: 'promote d~1',
	},
	{
		name: 'then the replaced host goes', members: 'a~1! b~1! c~1! d~1!', wanted: 'a~1 b~1 d~1', step: 'remove c~1',
	},
	{
		name: 'no removal that costs the quorum', members: 'a~1! b~1!- c~1! d~1!-', wanted: 'a~1 b~ d~', step: 'none',
	},
	{
		name: 'a learner that is not wanted goes', members: 'a~1! x~1?', wanted: 'a~1', step: 'remove x~1',
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
