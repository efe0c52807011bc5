/**
Assignment and directory: which entry hosts serve a service themselves (its carriers), and which of their addresses
callers receive.
*/
export {
	ADDRESS_COUNT,
	ADDRESS_TTL_SECONDS,
	MIN_CARRIERS,
	MIN_SLOTS_PER_CARRIER,
	REQUESTS_PER_SECOND_PER_CARRIER,
	SLOTS_PER_CARRIER,
} from './constants.ts';
export {createNameHash, type NameHash} from './scores.ts';
export {type Demand, getCarrierCount} from './carrier-count.ts';
export {type CarrierHost, type CarrierQuery, getCarriers} from './carriers.ts';
export {type CarrierIndex, createCarrierIndex} from './carrier-index.ts';
export {
	type AddressQuery,
	type DirectoryAddress,
	type DirectoryAnswer,
	type DirectoryMember,
	getAddresses,
} from './directory.ts';
