/**
Tests of the watch over attempts that stay unanswered.
*/
import * as timers from 'node:timers/promises';
import test from 'ava';
import type {Attempt, AttemptResult} from '../../attempts.ts';
import type {CrashGuard, UnansweredAttempt} from '../../ports.ts';
import {CRASHED_CODE, startUnansweredWatch} from '../../unanswered.ts';

const OVERDUE_MILLISECONDS = 30;
const USUAL_MILLISECONDS = 10;
const LOST: AttemptResult = {kind: 'lost', code: 'deadline'};

function startWatch(isSent: boolean, elapsedMilliseconds = 0) {
	const inquiries: UnansweredAttempt[] = [];
	const aborted: string[] = [];
	const state = {answers: 0};
	const attempt: Attempt = {
		result: Promise.resolve(LOST),
		abort(code) {
			aborted.push(code);
		},
		isSent: () => isSent,
		delivered: Promise.resolve(),
	};
	const guard: Pick<CrashGuard, 'inquire'> = {
		inquire(sent) {
			inquiries.push(sent);
			return () => {
				state.answers++;
			};
		},
	};
	const watch = startUnansweredWatch({
		attempt,
		guard: guard as CrashGuard,
		sent: {
			service: 's', target: {id: 'u', address: {ip: '127.0.0.1', port: 1}, kind: 'upstream'}, fingerprint: 'f', sentAt: 0,
		},
		overdueMilliseconds: OVERDUE_MILLISECONDS,
		usualMilliseconds: USUAL_MILLISECONDS,
		now: () => elapsedMilliseconds,
	});
	return {
		watch, inquiries, aborted, state,
	};
}

test('an attempt that stays unanswered is looked into, and aborted when its upstream has crashed', async t => {
	const {inquiries, aborted} = startWatch(true);
	await timers.setTimeout(OVERDUE_MILLISECONDS * 3);
	t.is(inquiries.length, 1);
	inquiries[0]!.onCrash();
	t.deepEqual(aborted, [CRASHED_CODE]);
});

test('an attempt that is answered late is reported as answered', async t => {
	const {watch, inquiries, state} = startWatch(true);
	await timers.setTimeout(OVERDUE_MILLISECONDS * 3);
	watch.recordAnswer();
	t.is(inquiries.length, 1);
	t.is(state.answers, 1);
});

type Case = {
	readonly name: string;
	readonly isSent: boolean;
	readonly elapsedMilliseconds?: number;
	readonly end?: readonly [result: AttemptResult, isAborted: boolean];
	readonly inquiries: number;
};

const CASES: readonly Case[] = [
	{name: 'that was not sent yet', isSent: false, inquiries: 0},
	{
		name: 'that is aborted late', isSent: true, elapsedMilliseconds: USUAL_MILLISECONDS, end: [LOST, true], inquiries: 1,
	},
	{
		name: 'that is aborted early', isSent: true, elapsedMilliseconds: USUAL_MILLISECONDS - 1, end: [LOST, true], inquiries: 0,
	},
	{
		name: 'whose connection is lost', isSent: true, elapsedMilliseconds: USUAL_MILLISECONDS, end: [LOST, false], inquiries: 0,
	},
	{
		name: 'that is aborted before it was sent', isSent: false, elapsedMilliseconds: USUAL_MILLISECONDS, end: [{kind: 'not-sent', code: 'deadline'}, true], inquiries: 0,
	},
];

for (const {name, isSent, elapsedMilliseconds, end, inquiries: expected} of CASES) {
	test(`an attempt ${name} starts ${expected === 0 ? 'no inquiry' : 'an inquiry'}`, async t => {
		const {watch, inquiries} = startWatch(isSent, elapsedMilliseconds);
		if (end !== undefined) {
			watch.end(...end);
		}

		await timers.setTimeout(OVERDUE_MILLISECONDS * 3);
		t.is(inquiries.length, expected);
	});
}
