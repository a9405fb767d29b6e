import { testShard } from '../support/testShard.js'

testShard(6)
