/**
Tests of the time that an entry host lends to dispatchers.
*/
import test from 'ava';
import {createTimeLender} from '../../time-lender.ts';

test('each millisecond is lent once, and the rest of one is left for the next slot request', t => {
	let time = 10;
	const lender = createTimeLender(() => time);
	const lent: number[] = [];
	for (const at of [10, 30.7, 30.9, 31.2, 500]) {
		time = at;
		lent.push(lender.lend());
	}

	t.deepEqual(lent, [0, 20, 0, 1, 469]);
});

test('time that a dispatcher did not answer for is lent again', t => {
	let time = 0;
	const lender = createTimeLender(() => time);
	time = 100;
	const lent = lender.lend();
	time = 130;
	lender.reclaim(lent);
	t.is(lender.lend(), 130);
});
