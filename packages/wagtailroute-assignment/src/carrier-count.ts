/**
Number of carriers of a service.

Many carriers share the load and survive losses of hosts. With few carriers, each sees more of an upstream's requests,
is less likely to exceed its slots, and fewer connections are held to it. The count follows the slots and the request
rate, limited by the slots and connections of the upstreams:

	wanted  = max(MIN_CARRIERS, slots / SLOTS_PER_CARRIER, requests per second / REQUESTS_PER_SECOND_PER_CARRIER)
	allowed = min(slots / MIN_SLOTS_PER_CARRIER, connections per upstream / (slots of an upstream * CONNECTIONS_PER_SLOT))
	count   = min(hosts, max(MIN_CARRIERS, min(wanted, allowed))), with min(wanted, allowed) rounded down to a step
*/
import {
	CARRIER_COUNT_STEPS,
	CONNECTIONS_PER_SLOT,
	MIN_CARRIERS,
	MIN_SLOTS_PER_CARRIER,
	REQUESTS_PER_SECOND_PER_CARRIER,
	SLOTS_PER_CARRIER,
} from './constants.ts';

/**
Input of the number of carriers of a service.
*/
export type Demand = {
	/**
	Number of upstreams of the service.
	*/
	readonly upstreams: number;
	/**
	Slots of one upstream.
	*/
	readonly slots: number;
	/**
	Connections that one upstream accepts in total.
	*/
	readonly connectionsPerUpstream: number;
	readonly requestsPerSecond: number;
	/**
	Number of hosts that may carry services.
	*/
	readonly hosts: number;
};

/**
Returns how many hosts carry a service.
*/
export function getCarrierCount(demand: Demand): number {
	const slots = demand.upstreams * demand.slots;
	const wanted = Math.max(
		MIN_CARRIERS,
		Math.ceil(slots / SLOTS_PER_CARRIER),
		Math.ceil(demand.requestsPerSecond / REQUESTS_PER_SECOND_PER_CARRIER),
	);
	const count = roundToStep(Math.min(wanted, getAllowedCount(demand, slots)));
	return Math.min(demand.hosts, Math.max(MIN_CARRIERS, count));
}

function getAllowedCount(demand: Demand, slots: number): number {
	const bySlots = slots / MIN_SLOTS_PER_CARRIER;
	const byConnections = demand.connectionsPerUpstream / (Math.max(1, demand.slots) * CONNECTIONS_PER_SLOT);
	return Math.floor(Math.min(bySlots, byConnections));
}

function roundToStep(count: number): number {
	return CARRIER_COUNT_STEPS.findLast(step => step <= count) ?? MIN_CARRIERS;
}
