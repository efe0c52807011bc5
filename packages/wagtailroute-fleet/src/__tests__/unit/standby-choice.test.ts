/**
Tests of which entry hosts are chosen as standbys.
*/
import test from 'ava';
import {createRequestingHosts} from '../../requesting-hosts.ts';
import {MAX_STANDBYS} from '../../constants.ts';
import type {EntryHost} from '../../entry-hosts.ts';
import {chooseStandbys} from '../../standby-choice.ts';
import * as fixture from './fixture.ts';

const createHost = (failureDomain: string, index: number): EntryHost => {
	const address = {ip: `10.0.0.${index}`, port: 80};
	return {
		id: `${failureDomain}${index}`,
		failureDomain,
		state: {
			trafficAddress: address, linkAddress: address, isReady: true, load: 0,
		},
		link: fixture.createFakeLink(() => undefined),
	};
};

const createHosts = (domains: Readonly<Record<string, number>>) =>
	Object.entries(domains).flatMap(([domain, count]) => Array.from({length: count}, (_, index) => createHost(domain, index)));

type Case = {
	readonly name: string;
	readonly domains: Readonly<Record<string, number>>;
	readonly counts: Readonly<Record<string, number>>;
};

const CASES: readonly Case[] = [
	{name: 'equally many of each failure domain', domains: {a: 10, b: 10, c: 10}, counts: {a: 2, b: 2, c: 2}},
	{name: 'all entry hosts when there are few', domains: {a: 1, b: 2}, counts: {a: 1, b: 2}},
	{name: 'more of one failure domain where others have few', domains: {a: 10, b: 1}, counts: {a: MAX_STANDBYS - 1, b: 1}},
	{name: 'none when there is no entry host', domains: {}, counts: {}},
];

for (const {name, domains, counts} of CASES) {
	test(`the standbys are ${name}`, t => {
		const chosen = chooseStandbys(createHosts(domains));
		const counted = Object.fromEntries(Object.keys(domains).map(domain => [domain, chosen.filter(host => host.failureDomain === domain).length]));
		t.deepEqual(counted, counts);
	});
}

test('the standbys are the same in whatever order hosts joined', t => {
	const hosts = createHosts({a: 5, b: 5});
	t.deepEqual(chooseStandbys(hosts.toReversed()), chooseStandbys(hosts));
});

test('a requesting host that opened another link is found by the new one', t => {
	const requestingHosts = createRequestingHosts();
	const [old, next] = [fixture.createFakeLink(() => undefined), fixture.createFakeLink(() => undefined)];
	requestingHosts.add({id: 'front', failureDomain: 'a'}, old);
	requestingHosts.add({id: 'front', failureDomain: 'a'}, next);
	requestingHosts.remove(old);
	t.is(requestingHosts.find('front'), next);
	t.is(requestingHosts.findByLink(old), undefined);
	t.is(requestingHosts.count(), 1);
});
