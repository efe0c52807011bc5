/**
Tests of the failure domain where callers enter.
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
	{name: 'its own failure domain', upstreams: [createReport('a'), createReport('b', {slots: 8})], entry: 'a'},
	{
		// Guards against uploads that cross failure domains for ten seconds after both upstreams of a failure domain began to reset requests: the directory
		// returned entry hosts of the caller's failure domain whatever the state of its upstreams. A third of all uploads crossed, which cost as much as they are worth.
		name: 'another one while all upstreams of its own are suspended',
		upstreams: [createReport('a', {isSuspended: true}), createReport('b'), createReport('c', {slots: 8})],
		entry: 'c',
	},
	{name: 'another one while all upstreams of its own are draining', upstreams: [createReport('a', {isDraining: true}), createReport('b')], entry: 'b'},
	{name: 'its own while it has a usable upstream', upstreams: [createReport('a', {isSuspended: true}), createReport('a', {slots: 1}), createReport('b')], entry: 'a'},
	{name: 'its own when no upstream is usable anywhere', upstreams: [createReport('b', {isSuspended: true})], entry: 'a'},
	{name: 'its own when no upstream is known', upstreams: [], entry: 'a'},
];

for (const {name, upstreams, entry} of CHOICES) {
	test(`a caller enters in ${name}`, t => {
		t.is(chooseEntryDomain('a', upstreams), entry);
	});
}

const ROUTE = fixture.UPLOAD_ROUTE;

const FINDS = [
	{
		name: 'the largest share of an upload route', host: 'scans.EXAMPLE', routes: [ROUTE], service: 'media',
	},
	{
		name: 'undefined for a host name without upload routes', host: 'scans.example', routes: [{...ROUTE, class: 'read' as const}], service: undefined,
	},
	{
		name: 'undefined for an unknown host name', host: 'other.example', routes: [ROUTE], service: undefined,
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
