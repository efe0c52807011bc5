/**
Bounds of assignment and directory. Each names its unit and the reason for its value.
*/

/**
Fewest carriers of a service (hosts): one is lost and another restarts, and one is still left.
*/
export const MIN_CARRIERS = 3;

/**
Slots of upstreams for each carrier when demand asks for no more (slots). A service of 20 upstreams with 4 slots gets 6
carriers, so 6,900 such services over 2,400 hosts make about 17 services a host.
*/
export const SLOTS_PER_CARRIER = 14;

/**
Fewest slots for each carrier under any demand (slots). Below it, carriers that don't see each other's requests overrun
an upstream: 8 upstreams of 4 slots are never shared by more than 4 carriers.
*/
export const MIN_SLOTS_PER_CARRIER = 8;

/**
Requests each second of one service for which one carrier is planned.
*/
export const REQUESTS_PER_SECOND_PER_CARRIER = 250;

/**
Connections that a carrier may hold to one upstream, as a multiple of the upstream's slots: in use, and kept idle.
*/
export const CONNECTIONS_PER_SLOT = 2;

/**
Numbers of carriers that are given out (hosts). Steps, so that a few upstreams more or less move nothing.
*/
export const CARRIER_STEPS: readonly number[] = [3, 4, 5, 6, 8, 10, 12, 16, 20, 24, 32, 40, 48, 64, 96, 128];

/**
Addresses in one answer to a caller.
*/
export const ADDRESS_COUNT = 4;

/**
Seconds for which a caller may keep an answer. A host that drains waits this long before it refuses new requests.
*/
export const ADDRESS_TTL_SECONDS = 5;

/**
Smallest share of room counted for a host that reports itself full, so that a wrong report starves none.
*/
export const MIN_ROOM = 0.05;
