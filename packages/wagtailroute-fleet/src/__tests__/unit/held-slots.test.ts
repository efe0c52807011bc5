/**
Tests of the slots that a host holds.
*/
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import {createHeldSlots} from '../../held-slots.ts';
import * as fixture from './fixture.ts';

const REQUEST: dispatch.SlotRequest = {
	...fixture.SLOT_REQUEST_DRAFT, id: 'h:1', host: 'h', failureDomain: 'x',
};

test('a dispatcher receives the held slots of its service, once until the dispatcher changes', t => {
	// Guards against upstreams that shed requests right after a control host was lost: the next dispatcher counts the slots that the lost one
	// granted as free.
	const first = fixture.createFakeLink(() => undefined);
	const second = fixture.createFakeLink(() => undefined);
	const host = {id: 'c', address: {ip: '10.0.0.2', port: 1}};
	const heldSlots = createHeldSlots(() => 500, {advertisements: {list: () => []}, recentUsage: {collectUnreported: () => undefined}, countEntryHosts: () => 3});
	heldSlots.add({request: REQUEST, upstream: 'u', grantedAt: 100});
	heldSlots.add({request: {...REQUEST, id: 'h:2', service: 'media'}, upstream: 'v', grantedAt: 100});
	for (const link of [first, first, second]) {
		heldSlots.reportTo({service: 'archive'}, {host, link});
	}

	const held = {
		id: 'h:1', host: 'h', service: 'archive', route: 'r', upstream: 'u', ageMilliseconds: 400, remainingMilliseconds: 1600,
	};
	t.deepEqual([first.notified, second.notified], [
		[['dispatch.hold', {service: 'archive', places: [held]}]],
		[['dispatch.hold', {service: 'archive', places: [held]}]],
	]);
	t.is(heldSlots.remove('h:1')?.upstream, 'u');
	t.is(heldSlots.remove('h:1'), undefined);
	t.is(heldSlots.count(), 1);
});
