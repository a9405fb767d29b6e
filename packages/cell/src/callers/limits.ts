/** Limits of the connections of one port. Times are in ms. */
export interface ConnectionLimits {
  /** Connections at the same time. */
  connections: number
  /** Bytes of the head of a request. */
  headBytes: number
  /** Header lines of a request. */
  headCount: number
  /** Time from the first byte of a head to its end. */
  headTimeout: number
  /** Time without progress of a body. */
  bodyTimeout: number
  /** Time between requests. */
  idleTimeout: number
  /** Time without progress of the other end's reading of responses. */
  responseTimeout: number
  /** Requests in a row that were sent before the former one was answered. */
  pipelinedRequests: number
}

/** Limits on what uncontrolled clients can make a process hold. */
export interface ClientLimits extends ConnectionLimits {
  /** Bytes that unfinished bodies, bodies of requests that are being handled, and bytes read ahead may hold together. */
  bodyBytes: number
  /** Time within which a request is answered, whatever its caller would wait, in ms. */
  requestTimeout: number
  /** Jobs and cancellations of callers of this node, and of nodes that write through it, that wait to be written. */
  waitingWrites: number
  /** Queries of callers that wait for the decider or the store; also, queries that wait for a job's next phase. */
  waitingQueries: number
  /** Connections of the readiness and of the metrics port each. */
  statusConnections: number
  /** Links from other nodes. */
  links: number
  /** Links from other nodes that have not said hello. */
  newLinks: number
  /** Characters of a message of a node that has not said hello. */
  helloChars: number
  /** Time to the hello on a link, in ms. */
  helloTimeout: number
  /** Bytes that the open jobs of the cell may take at its decider, as estimated from their submissions. */
  openJobBytes: number
  /** Objects of placed tasks at the decider. */
  openTasks: number
  /** Orders to start that the decider may have in flight; further ones wait. */
  startOrders: number
  /** Ids that the decider keeps of accepted jobs for which it has no room. */
  deferredJobs: number
  /** Bytes of log lines that wait to be written. */
  logBytes: number
}

/** Files, and connections to the store and the advice service, in descriptors. */
const RESERVED_DESCRIPTORS = 200
/** Part of the other descriptors for callers; the rest is for workers, other nodes and status ports. */
const CALLER_DESCRIPTOR_SHARE = 0.5
/** Part of the other descriptors for links from other nodes. */
const LINK_DESCRIPTOR_SHARE = 0.2
/** Connections of callers for each MB of memory; each holds up to 20 KB without a body. */
const CONNECTIONS_PER_MB = 4
/** Part of the memory for bodies. On the smallest machine that is 13 MB, of which 50 of the largest bodies fit. */
const BODY_MEMORY_SHARE = 1 / 16
const BYTES_PER_MB = 1_048_576
/** Part of the memory, or of the heap if that is smaller, for open jobs; a decider needs most of the rest for collections, workers and requests. */
const OPEN_JOB_MEMORY_SHARE = 0.2
/** Task objects for each MB of the same; each holds 600 bytes. */
const OPEN_TASKS_PER_MB = 150
/** Orders to start for each MB of the same; each holds up to 10 KB with the text of its job. */
const START_ORDERS_PER_MB = 4
/** Ids of deferred jobs for each MB of the same; each holds 300 bytes. */
const DEFERRED_JOBS_PER_MB = 80
/** Waiting writes and queries for each MB of memory; each holds a few KB besides its body. */
const WAITING_PER_MB = 8

/**
 * @param memory - memory of the machine in MB
 * @param descriptors - file descriptors of the process
 * @param heap - maximum size of the heap in MB
 * @returns limits that no client within the platform's limits reaches
 */
export function defaultLimits (memory: number, descriptors: number, heap = Infinity): ClientLimits {
  const usable = Math.min(memory, heap)
  const waiting = Math.max(1, Math.round(memory * WAITING_PER_MB))
  return {
    connections: Math.max(1, Math.floor(Math.min(Math.max(0, descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE, memory * CONNECTIONS_PER_MB))),
    // The platform allows 16,384 bytes; the request line and the line ends come on top.
    headBytes: 20_480,
    headCount: 200,
    // The platform allows 3 s for a head and 15 s between requests.
    headTimeout: 5000,
    bodyTimeout: 15_000,
    idleTimeout: 20_000,
    responseTimeout: 15_000,
    pipelinedRequests: 100,
    bodyBytes: Math.max(1, Math.floor(memory * BYTES_PER_MB * BODY_MEMORY_SHARE)),
    requestTimeout: 60_000,
    waitingWrites: waiting,
    waitingQueries: waiting,
    statusConnections: 32,
    links: Math.max(1, Math.floor(Math.max(0, descriptors - RESERVED_DESCRIPTORS) * LINK_DESCRIPTOR_SHARE)),
    newLinks: 64,
    helloChars: 4096,
    helloTimeout: 5000,
    openJobBytes: Math.max(1, Math.floor(usable * BYTES_PER_MB * OPEN_JOB_MEMORY_SHARE)),
    openTasks: Math.max(1, Math.floor(usable * OPEN_TASKS_PER_MB)),
    startOrders: Math.max(1, Math.floor(usable * START_ORDERS_PER_MB)),
    deferredJobs: Math.max(1, Math.floor(usable * DEFERRED_JOBS_PER_MB)),
    logBytes: 4 * BYTES_PER_MB
  }
}

/** Memory and descriptors of the smallest machine of the platform, for settings that don't name them. */
export const SMALLEST_MACHINE = { memory: 210, descriptors: 2212 }
