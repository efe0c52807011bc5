/**
Tests of the directory: what a control host publishes to entry hosts, and what these answer.
*/
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import {startDirectory} from '../../directory.ts';
import {type DirectoryTable, EMPTY_DIRECTORY_TABLE, lookUpAddresses} from '../../directory-table.ts';
import {createEntryHosts} from '../../entry-hosts.ts';
import * as fixture from './fixture.ts';

const TABLE: DirectoryTable = {
	addresses: {a: ['10.0.0.1:80', '10.0.0.2:80'], b: ['10.0.1.1:80']},
	detours: [{host: 'scans.example', from: 'a', to: 'b'}],
};

const CASES = [
	{
		name: 'the addresses of its failure domain', table: TABLE, domain: 'a', host: 'x.example', addresses: ['10.0.0.1:80', '10.0.0.2:80'],
	},
	{
		name: 'the addresses of another failure domain where a detour leads there', table: TABLE, domain: 'a', host: 'Scans.example', addresses: ['10.0.1.1:80'],
	},
	{
		name: 'all addresses when its failure domain has none', table: TABLE, domain: 'c', host: 'x.example', addresses: ['10.0.0.1:80', '10.0.0.2:80', '10.0.1.1:80'],
	},
	{
		name: 'no address before a table was received', table: EMPTY_DIRECTORY_TABLE, domain: 'a', host: 'x.example', addresses: [],
	},
];

for (const {name, table, domain, host, addresses} of CASES) {
	test(`a caller is answered ${name}`, t => {
		t.deepEqual(lookUpAddresses(table, domain, host), addresses);
	});
}

const GENERATION: generations.Generation = {
	version: 1,
	routes: [fixture.UPLOAD_ROUTE],
	services: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
};

test('the table is published to entry hosts of the same failure domain, once for each change', async t => {
	const context = fixture.createFakeContext();
	const entries = createEntryHosts('a', context.now);
	const links = new Map(['a', 'b'].map(domain => [domain, fixture.createFakeLink(() => undefined)]));
	for (const [index, [failureDomain, link]] of [...links].entries()) {
		const address = {ip: `10.0.0.${index}`, port: 80};
		entries.add({
			id: failureDomain, failureDomain, link, state: {
				trafficAddress: address, linkAddress: address, isReady: true, load: 0,
			},
		});
	}

	const report: dispatch.UpstreamReport = {
		upstream: 'u', failureDomain: 'b', taken: 0, slots: 4, doubt: 0, isSuspended: false, isDraining: false, hostsBackingOff: [],
	};
	const directory = startDirectory(context, {
		failureDomain: 'a', entryHosts: entries, isLargeFleet: () => false, listUpstreamReports: () => [report],
	});
	directory.setGeneration(GENERATION);
	await context.pass(200);
	await context.pass(200);
	const table: DirectoryTable = {
		addresses: {a: ['10.0.0.0:80'], b: ['10.0.0.1:80']},
		detours: [{host: 'scans.example', from: 'a', to: 'b'}],
		forwardingAddresses: [],
	};
	t.deepEqual(links.get('a')?.notified, [['fleet.directory', table]]);
	t.deepEqual(links.get('b')?.notified, []);
	t.deepEqual(directory.listAddresses('a', 'scans.example'), ['10.0.0.1:80']);
	t.deepEqual(directory.listAddresses('a', 'x.example'), ['10.0.0.0:80']);
});
