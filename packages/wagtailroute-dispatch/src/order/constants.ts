/**
Bounds and time constants of the order of queued requests.
*/

/**
Priorities that are told apart. A request with a higher number counts as one of the last.
*/
export const MAX_PRIORITIES = 16;

/**
Part of the proportional service that each class of requests gets at least. Three kinds at 1.5 times the capacity then leave the least urgent one 22% of its
requests, above the quarter of the average that no kind may fall below.
*/
export const FLOOR_PART = 1 / 3;

/**
Credit that a class can save up, as a multiple of the work of its next request.
*/
export const MAX_CREDIT_REQUESTS = 2;

/**
Time constant of the averages of what arrives.
*/
export const ARRIVAL_MILLISECONDS = 2000;

/**
Organisations without a request for this time are forgotten, and the number that is kept in each class.
*/
export const ORGANISATION_EXPIRY_MILLISECONDS = 3000;
export const MAX_ORGANISATIONS = 256;

/**
Difference in service between organisations, in milliseconds of work, below which they count as equal and the slack decides.
*/
export const FAIR_LEVEL_MILLISECONDS = 500;

/**
Difference in slack below which the least work goes first.
*/
export const SLACK_STEP_MILLISECONDS = 50;

/**
Window of the observed release of slots, and the time for which the expected speed counts next to it, as a multiple of the time for which slots are
held: slots that were granted together release nothing meanwhile.
*/
export const RELEASE_WINDOW_MILLISECONDS = 1000;
export const RELEASE_SLICE_MILLISECONDS = 100;
export const EXPECTED_SPEED_HOLDS = 2;

/**
Upper bound of the speed of one slot. Above 1, since response times vary: bounds of 1 and 1.1 were reached without any suspension.
*/
export const MAX_SLOT_SPEED = 1.25;

/**
Weight of a new measurement in the averages of work and of the time for which slots are held.
*/
export const HOLD_SHARE = 0.05;

/**
Queue length up to which each event examines all queued requests; a longer queue is examined at most once in the interval. With
1,000 queued requests, examining all at each event and sorting out the next 64 each time cost 80 us more for each slot request.
*/
export const MAX_EXAMINED_PER_EVENT = 256;
export const EXAMINATION_INTERVAL_MILLISECONDS = 10;
