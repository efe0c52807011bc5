/**
Which hosts the leader of the records treats as lost.
*/
import test from 'ava';
import type {Member} from '../../context.ts';
import {createLostHostDetector} from '../../lost-hosts.ts';

function createMember(id: string, state: Member['state'], boot: string): Member {
	const address = {ip: '127.0.0.1', port: 1};
	return {
		id, state, boot, failureDomain: 'a', region: 'r', roles: ['entry'], trafficAddress: address, adminAddress: address, peerAddress: address, draining: false,
	};
}

const CASES: ReadonlyArray<{readonly title: string; readonly member?: Member; readonly commands: readonly string[]}> = [
	{title: 'a running host is not lost', member: createMember('h', 'alive', 'b1'), commands: []},
	{title: 'a suspected host is not lost', member: createMember('h', 'suspect', 'b1'), commands: []},
	{title: 'a host unknown to the leader is not lost', commands: []},
	{title: 'a dead host is lost', member: createMember('h', 'dead', 'b1'), commands: ['lose-host h b1']},
	{title: 'the earlier process of a restarted host is lost', member: createMember('h', 'alive', 'b2'), commands: ['lose-host h b1']},
	{title: 'a host that left is lost, and its shares are released', member: createMember('h', 'left', 'b1'), commands: ['lose-host h b1', 'forget-host h']},
];

for (const {title, member, commands} of CASES) {
	test(title, t => {
		const detector = createLostHostDetector();
		const members = new Map(member === undefined ? [] : [[member.id, member]]);
		const found = [1, 2].flatMap(() => detector.findCommands(members, [{host: 'h', bootId: 'b1'}]));
		t.deepEqual(found.map(({name, payload}) => [name, ...Object.values(payload)].join(' ')).toSorted(), commands.toSorted());
	});
}

test('a process whose claim arrived before its membership update is not lost', t => {
	// A host restarts and claims a key while the leader still knows its earlier process. If one check were enough, the
	// running request would be reported as unknown to its resend.
	const detector = createLostHostDetector();
	const holders = [{host: 'h', bootId: 'b2'}];
	t.deepEqual(detector.findCommands(new Map([['h', createMember('h', 'alive', 'b1')]]), holders), []);
	t.deepEqual(detector.findCommands(new Map([['h', createMember('h', 'alive', 'b2')]]), holders), []);
});

test('a host that membership has forgotten counts as left', t => {
	const detector = createLostHostDetector();
	t.deepEqual(detector.findCommands(new Map([['h', createMember('h', 'dead', 'b1')]]), []), []);
	t.deepEqual(detector.findCommands(new Map(), []).map(({name}) => name), ['forget-host']);
	t.deepEqual(detector.findCommands(new Map(), []), []);
});
