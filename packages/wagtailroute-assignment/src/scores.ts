/**
Scores of weighted rendezvous hashing.

Each name is hashed once by xxHash; a pair of hashes is then mixed by the finalizer of MurmurHash3, so that a full
computation costs one integer mix per pair of service and host. A host's score for a service follows an exponential
distribution whose rate is the host's weight. A host therefore has the lowest score with a probability in proportion to
its weight, and changing the weight of one host moves only the services that this host gains or loses.
*/
/* eslint-disable no-bitwise -- the finalizer of a hash is made of bit operations */
import createXxhash from 'xxhash-wasm';

/**
Hashes a name to an unsigned 32-bit integer.
*/
export type NameHash = (name: string) => number;

const HASH_RANGE = 2 ** 32;
const GOLDEN_RATIO = 0x9E_37_79_B1;

/**
Loads the xxHash library. Only its compilation is asynchronous; the returned function is synchronous and pure.
*/
export async function createNameHash(): Promise<NameHash> {
	const xxhash = await createXxhash();
	return name => xxhash.h32(name);
}

/**
Mixes two hashes into a number that is uniformly distributed in (0, 1).
*/
export function mixToUniform(left: number, right: number): number {
	let mixed = Math.imul(left, GOLDEN_RATIO) ^ right;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	mixed ^= mixed >>> 16;
	return ((mixed >>> 0) + 0.5) / HASH_RANGE;
}

/**
Returns the score of a host for a service; hosts with the lowest scores are selected. The weight must be positive.
*/
export function getScore(serviceHash: number, hostHash: number, weight: number): number {
	return -Math.log(mixToUniform(serviceHash, hostHash)) / weight;
}
