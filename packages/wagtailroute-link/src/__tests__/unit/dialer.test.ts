/**
Tests of how long a dialer waits.
*/
import test from 'ava';
import {
	CONNECT_LEAST_MILLISECONDS,
	CONNECT_MOST_MILLISECONDS,
	RECONNECT_MOST_MILLISECONDS,
	RECONNECT_SOON_MILLISECONDS,
	RECONNECT_SOON_MOST_MILLISECONDS,
} from '../../constants.ts';
import {getNextLimit, getNextWait} from '../../dialer.ts';

const CASES = [
	{
		// Symptom: after a restart of everything the first request is answered half a second after the last host is ready.
		// Sequence: hosts start within 0.3 s; the first tries find nobody; the next ones come after 0.2 s and 0.4 s.
		// Cause: the wait doubled as if the other side were away for long.
		name: 'a short while right after the loss', waited: 100, away: 0, milliseconds: RECONNECT_SOON_MOST_MILLISECONDS,
	},
	{
		name: 'twice as long each time later', waited: 100, away: RECONNECT_SOON_MILLISECONDS, milliseconds: 200,
	},
	{
		name: 'no longer than the longest wait', waited: RECONNECT_MOST_MILLISECONDS, away: 60_000, milliseconds: RECONNECT_MOST_MILLISECONDS,
	},
];

for (const {name, waited, away, milliseconds} of CASES) {
	test(`a lost link is tried again after ${name}`, t => {
		t.is(getNextWait(waited, away), milliseconds);
	});
}

const LIMITS = [
	{
		// Symptom: after a loss of power everywhere entry hosts are linked 0.6 s after they run, though the control hosts run 0.3 s after them.
		// Sequence: an entry host has power sooner and dials; its first packet is dropped by a host without power; the system would
		// send it again after a second; the try is given up only at its limit of 0.6 s.
		// Cause: one limit for hosts that are far and hosts that are not there yet.
		name: 'twice as long after one that ran into its limit', limit: CONNECT_LEAST_MILLISECONDS, milliseconds: 2 * CONNECT_LEAST_MILLISECONDS,
	},
	{name: 'no longer than the longest limit', limit: CONNECT_MOST_MILLISECONDS, milliseconds: CONNECT_MOST_MILLISECONDS},
];

for (const {name, limit, milliseconds} of LIMITS) {
	test(`a try at a connection takes ${name}`, t => {
		t.is(getNextLimit(limit), milliseconds);
	});
}

test('two tries at a host without power take less than the longest one', t => {
	t.true(CONNECT_LEAST_MILLISECONDS + getNextLimit(CONNECT_LEAST_MILLISECONDS) < CONNECT_MOST_MILLISECONDS);
});
