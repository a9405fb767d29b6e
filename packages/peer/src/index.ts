export { GrpcNetwork } from './node/GrpcNetwork.js'
export type { GrpcNetworkOptions } from './node/GrpcNetwork.js'
export { EVENTS as PEER_EVENTS } from './types/events.js'
export { decodeMessage, encodeMessage } from './utils/codec.js'
