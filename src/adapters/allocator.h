// Settings of the memory allocator.

#ifndef HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_
#define HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_

namespace harecrank {

// Makes large blocks, such as bodies of requests, go back to the system as soon
// as they are freed. By default the allocator keeps them, between blocks that
// are in use or for the thread that freed them, so that a process may occupy
// several times what it holds. To be called once, before threads are started.
void ReturnLargeBlocksToSystem();

}  // namespace harecrank

#endif  // HARECRANK_SRC_ADAPTERS_ALLOCATOR_H_
