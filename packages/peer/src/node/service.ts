import { fileURLToPath } from 'node:url'
import { loadPackageDefinition } from '@grpc/grpc-js'
import type { ChannelOptions, ServiceClientConstructor, ServiceDefinition } from '@grpc/grpc-js'
import { loadSync } from '@grpc/proto-loader'

const PROTO_FILE = fileURLToPath(new URL('../../../proto/peer.proto', import.meta.url))

const MAX_FRAME_BYTES = 16 * 1024 * 1024

const definition = loadSync(PROTO_FILE, {
  longs: Number,
  enums: String,
  defaults: true,
  arrays: true,
  objects: true,
  oneofs: true
})

interface PeerPackage {
  rattanstep: { peer: { Peer: ServiceClientConstructor & { service: ServiceDefinition } } }
}

/** gRPC client and service definition of the peer protocol. */
export const { Peer } = (loadPackageDefinition(definition) as unknown as PeerPackage).rattanstep.peer

/** Channel options for client and server. Clients do not share connections. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_FRAME_BYTES,
  'grpc.max_send_message_length': MAX_FRAME_BYTES,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.enable_http_proxy': 0
}

/** Metadata key of the connecting node's incarnation. */
export const FROM_KEY = 'rattanstep-from'

/** Metadata key of the connecting node's nonce, in hexadecimal. */
export const NONCE_KEY = 'rattanstep-nonce'
