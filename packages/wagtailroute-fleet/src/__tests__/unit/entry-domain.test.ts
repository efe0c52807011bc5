/**
Tests of where callers enter.
*/
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import {chooseEntryDomain, listUploadServices} from '../../entry-domain.ts';
import * as fixture from './fixture.ts';

function createReport(failureDomain: string, changes: Partial<dispatch.UpstreamReport> = {}): dispatch.UpstreamReport {
	return {
		upstream: `u-${failureDomain}`, failureDomain, taken: 0, slots: 4, doubt: 0, isSuspended: false, isDraining: false, hostsBackingOff: [], ...changes,
	};
}

const CHOICES = [
	{name: 'its own', upstreams: [createReport('a'), createReport('b', {slots: 8})], entry: 'a'},
	{
		// Symptom: a third of all uploads crosses failure domains, at the price of what they are worth.
		// Sequence: both upstreams of a failure domain reset requests; its callers go on entering there for ten seconds.
		// Cause: the directory named entry hosts of the caller's failure domain whatever was known of upstreams.
		name: 'another one while all of its own are suspended',
		upstreams: [createReport('a', {isSuspended: true}), createReport('b'), createReport('c', {slots: 8})],
		entry: 'c',
	},
	{name: 'another one while all of its own drain', upstreams: [createReport('a', {isDraining: true}), createReport('b')], entry: 'b'},
	{name: 'its own while it has one that is well', upstreams: [createReport('a', {isSuspended: true}), createReport('a', {slots: 1}), createReport('b')], entry: 'a'},
	{name: 'its own when none is well anywhere', upstreams: [createReport('b', {isSuspended: true})], entry: 'a'},
	{name: 'its own when none is known', upstreams: [], entry: 'a'},
];

for (const {name, upstreams, entry} of CHOICES) {
	test(`a caller enters in ${name}`, t => {
		t.is(chooseEntryDomain('a', upstreams), entry);
	});
}

const ROUTE = fixture.UPLOAD_ROUTE;

const FINDS = [
	{
		name: 'the heaviest share of an upload', host: 'scans.EXAMPLE', routes: [ROUTE], service: 'media',
	},
	{
		name: 'nothing for a host without uploads', host: 'scans.example', routes: [{...ROUTE, class: 'read' as const}], service: undefined,
	},
	{
		name: 'nothing for a host that is not known', host: 'other.example', routes: [ROUTE], service: undefined,
	},
];

for (const {name, host, routes, service} of FINDS) {
	test(`the service of uploads is ${name}`, t => {
		const services = listUploadServices({
			version: 1, routes, services: [], limits: {
				headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
			},
		});
		t.is(services.get(host.toLowerCase()), service);
	});
}
