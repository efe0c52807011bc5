/**
Tests of the response sizes that an entry host reports, and of how a dispatcher reads them.
*/
import test from 'ava';
import type * as link from 'wagtailroute-link';
import type {HostDispatcher} from '../../host-dispatcher.ts';
import {type GrantEnd, METHODS} from '../../messages.ts';
import {createResponseSizes} from '../../response-sizes.ts';
import {createSlotRequestMethods} from '../../slot-request-methods.ts';

const ROUTE = {name: 'r'};

test('a stated size is reported as it is, one that is not stated as the average of its route', t => {
	// Guards against a dispatcher that learns nothing of routes with chunked responses.
	const sizes = createResponseSizes();
	t.is(sizes.record(ROUTE, {bytes: 90_000, isStated: true}), 90_000);
	t.is(sizes.record(ROUTE, {bytes: 80_000, isStated: false}), 89_000);
	t.is(sizes.record({name: 'other'}, {bytes: 500, isStated: false}), 500);
});

test('a dispatcher reads the end of a request with and without the size of its response', t => {
	// Guards against hosts of the version before, whose ends have three items, and against a size that reaches the wrong request.
	const ends: GrantEnd[] = [];
	const dispatcher: Partial<HostDispatcher> = {
		end(end) {
			ends.push(end);
		},
	};
	const methods = createSlotRequestMethods(dispatcher as HostDispatcher, () => ({id: 'front', failureDomain: 'x'}));
	for (const end of [[1, 'success', 120], [2, 'success', 130, 90_000]] as const) {
		void methods[METHODS.end]!(end as never, {} as link.Link);
	}

	t.deepEqual(ends, [
		{id: 'front:1', ending: 'success', milliseconds: 120},
		{
			id: 'front:2', ending: 'success', milliseconds: 130, responseBytes: 90_000,
		},
	]);
});
