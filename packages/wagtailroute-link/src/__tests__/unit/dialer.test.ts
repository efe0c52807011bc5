/**
Tests of how long a dialer waits.
*/
import test from 'ava';
import {RECONNECT_MOST_MILLISECONDS, RECONNECT_SOON_MILLISECONDS, RECONNECT_SOON_MOST_MILLISECONDS} from '../../constants.ts';
import {getNextWait} from '../../dialer.ts';

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
