/**
Tests of the choice of targets when a request moves.
*/
import test from 'ava';
import {createRequestAbortController} from '../../request-abort.ts';
import type * as ports from '../../ports.ts';
import {Targets, type TargetsContext} from '../../targets.ts';

const NEXT: ports.Target = {id: 'next', kind: 'upstream', address: {ip: '127.0.0.1', port: 1}};
const WATCH = {end: () => undefined, getNextTarget: () => NEXT};

function createTargets(): {readonly targets: Targets; readonly reports: ports.AttemptReport[]} {
	const reports: ports.AttemptReport[] = [];
	// Only the members that are used here.
	const service = {
		choose: () => undefined,
		end(report: ports.AttemptReport) {
			reports.push(report);
		},
	} as unknown as ports.ServicePort;
	const context = {service, match: {service: 's', route: {class: 'read'}}, request: {id: 'r'}} as unknown as TargetsContext;
	return {targets: new Targets(context, createRequestAbortController(), {getRemainingMilliseconds: () => 1000, getElapsedMilliseconds: () => 0}), reports};
}

test('a request that moves is sent to the granted target once', async t => {
	const {targets, reports} = createTargets();
	t.true(targets.recordMove(WATCH));
	t.is(await targets.choose(true), NEXT);
	t.is(await targets.choose(true), undefined);
	targets.releaseUnused();
	t.deepEqual(reports, []);
});

test('a granted target is released when the request is not sent any more', t => {
	// Guards against a slot that stays occupied until its deadline: a read moves, and its caller disconnects before the second attempt
	// starts, so that the granted target is never used.
	const {targets, reports} = createTargets();
	targets.recordMove(WATCH);
	targets.releaseUnused();
	targets.releaseUnused();
	t.deepEqual(reports.map(({target, ending}) => [target.id, ending]), [['next', 'cancelled']]);
});
