"""Steps of trainers and the workers that generate their samples."""
