/**
What one message between hosts costs, by its content, from the lines through the peer benches. Bytes are those of the
connection both ways, TLS included, TCP and IP headers not. Processor time is that of both ends together: each host is as
often the one as the other, so a host pays it once for each message that it starts.
*/
import {type Facts, getAt, getRows} from './facts.ts';
import {LEAST_POINTS} from './slopes.ts';

/**
A cost; undefined where nothing was measured.
*/
export type Cost = {readonly bytes?: number; readonly microseconds?: number};

/**
Ways of a message.
*/
export type Way = 'call' | 'notification' | 'connectingCall' | 'datagram';

/**
Returns the cost of one message that comes alone.
*/
export function getCost(facts: Facts, way: Way, contentBytes: number): Cost {
	return {
		bytes: getAt(facts, 'peer-alone', ['contentBytes', `${way}Bytes`], contentBytes),
		microseconds: getMedian(getRows(facts, 'peer-alone')?.map(row => row[`${way}Microseconds`])),
	};
}

/**
Returns the cost of one of many messages to the same host: calls back to back, notifications in batches.
*/
export function getBusyCost(facts: Facts, way: 'call' | 'notification', contentBytes: number): Cost {
	return {
		bytes: getAt(facts, 'peer-peer', ['contentBytes', `${way}Bytes`], contentBytes),
		microseconds: getMedian(getRows(facts, 'peer-peer')?.map(row => row[`${way}Microseconds`])),
	};
}

/**
The processor time of a message hardly follows its size, and its noise is greater: the median stands for all sizes.
*/
function getMedian(values: ReadonlyArray<string | number | undefined> | undefined): number | undefined {
	const numbers = (values ?? []).filter(value => typeof value === 'number').toSorted((one, other) => one - other);
	return numbers.length < LEAST_POINTS ? undefined : (numbers[Math.ceil(numbers.length / 2) - 1]! + numbers[Math.floor(numbers.length / 2)]!) / 2;
}

/**
Sums costs; what one of them lacks, the sum lacks.
*/
export function add(...costs: readonly Cost[]): Cost {
	return {bytes: sum(costs.map(cost => cost.bytes)), microseconds: sum(costs.map(cost => cost.microseconds))};
}

/**
Multiplies a cost.
*/
export function times(factor: number | undefined, cost: Cost): Cost {
	return {bytes: multiply(factor, cost.bytes), microseconds: multiply(factor, cost.microseconds)};
}

/**
Multiplies what was measured.
*/
export function multiply(...factors: ReadonlyArray<number | undefined>): number | undefined {
	return factors.includes(undefined) ? undefined : factors.reduce<number>((product, factor) => product * factor!, 1);
}

/**
Sums what was measured.
*/
export function sum(values: ReadonlyArray<number | undefined>): number | undefined {
	return values.includes(undefined) ? undefined : values.reduce<number>((total, value) => total + value!, 0);
}
