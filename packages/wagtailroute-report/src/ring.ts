/**
Counts in buckets of equal width over a bounded span of time. A bucket's place is taken over by the one that comes a whole
span later, so memory depends on the span alone, and a record costs two writes.
*/
import {
	addCounts,
	createCounts,
	type Counts,
	VERDICTS,
} from './verdicts.ts';

/**
The counts of one bucket: milliseconds from its middle until now, then its counts.

The middle, because a copy is put into the buckets of another clock: ages of the start would move a copy back by half a
bucket each time that it is handed on, and counts would leave the window of their objective days too early.
*/
export type BucketRow = readonly [age: number, ...counts: number[]];

/**
Counts of one span. Times are monotonic milliseconds and may be negative: a copy from before the process started.
*/
export type Ring = {
	readonly widthMilliseconds: number;
	readonly length: number;
	/**
	Adds to the bucket of a time. Ignored when that bucket has left the span already.
	*/
	readonly add: (at: number, verdict: number, count: number) => void;
	/**
	Adds the counts of each verdict.
	*/
	readonly addAll: (at: number, counts: Counts) => void;
	/**
	Sums the buckets of the last `spanMilliseconds`, the present one included: the sum covers between one bucket's width less
	and the whole of the span.
	*/
	readonly sum: (spanMilliseconds: number, now: number) => Counts;
	/**
	Returns the counts of the buckets that hold any, from a number up to but without another, oldest first.
	*/
	readonly readRows: (now: number, from?: number, until?: number) => BucketRow[];
	/**
	Returns the number of the bucket of a time.
	*/
	readonly getNumber: (at: number) => number;
};

const NEVER = -(2 ** 31);

/**
Creates a ring for a span of time. Not immutable: a record is made for each request, and a copied table would cost more
than the request itself.
*/
export function createRing(widthMilliseconds: number, spanMilliseconds: number): Ring {
	// One more than the span, because the present bucket is not whole.
	const length = Math.ceil(spanMilliseconds / widthMilliseconds) + 1;
	const numbers = new Int32Array(length).fill(NEVER);
	const counts = new Uint32Array(length * VERDICTS.length);

	const getNumber = (at: number) => Math.floor(at / widthMilliseconds);
	const getPlace = (number: number) => ((number % length) + length) % length;

	const readBucket = (number: number): Counts | undefined => {
		const place = getPlace(number);
		return numbers[place] === number
			? [...counts.subarray(place * VERDICTS.length, (place + 1) * VERDICTS.length)]
			: undefined;
	};

	const add = (at: number, verdict: number, count: number) => {
		const number = getNumber(at);
		const place = getPlace(number);
		if (numbers[place]! > number) {
			return;
		}

		if (numbers[place] !== number) {
			numbers[place] = number;
			counts.fill(0, place * VERDICTS.length, (place + 1) * VERDICTS.length);
		}

		counts[(place * VERDICTS.length) + verdict]! += count;
	};

	return {
		widthMilliseconds,
		length,
		getNumber,
		add,
		addAll(at, bucket) {
			for (const [verdict, count] of bucket.entries()) {
				add(at, verdict, count);
			}
		},
		sum(span, now) {
			const last = getNumber(now);
			const buckets = Math.min(length, Math.round(span / widthMilliseconds));
			const sum = createCounts();
			for (let number = last - buckets + 1; number <= last; number++) {
				addCounts(sum, readBucket(number) ?? []);
			}

			return sum;
		},
		readRows(now, from = NEVER, until = Infinity) {
			const end = getNumber(now) + 1;
			const rows: BucketRow[] = [];
			for (let number = Math.max(from, end - length); number < Math.min(end, until); number++) {
				const bucket = readBucket(number);
				if (bucket !== undefined) {
					rows.push([Math.max(0, now - ((number + 0.5) * widthMilliseconds)), ...bucket]);
				}
			}

			return rows;
		},
	};
}
